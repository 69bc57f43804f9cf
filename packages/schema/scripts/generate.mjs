// Generates the committed types from the schemas; with --check it only says whether they are current.
import { readdir, readFile, writeFile } from 'node:fs/promises';
import { compile } from 'json-schema-to-typescript';

const SCHEMAS = new URL('../schemas/', import.meta.url);
const SOURCES = new URL('../src/', import.meta.url);
const check = process.argv.includes('--check');
let stale = 0;

const files = (await readdir(SCHEMAS)).filter((file) => file.endsWith('.json')).sort();
for (const file of files) {
  const topic = file.replace('.json', '');
  const name = topic.charAt(0).toUpperCase() + topic.slice(1);
  const schema = JSON.parse(await readFile(new URL(file, SCHEMAS), 'utf8'));
  const types = await compile(structuredClone(schema), name, {
    additionalProperties: false,
    bannerComment: `/* Generated from schemas/${file} by \`npm run generate\`; not edited by hand. */`,
    ignoreMinAndMaxItems: true,
    style: { singleQuote: true, printWidth: 100 },
  });
  const constant = `\n/** The schema itself, for validation at run time. */\nexport const ${topic}Schema = ${JSON.stringify(schema, null, 2)} as const;\n`;
  const target = new URL(`CactusdealSchema${name}.generated.ts`, SOURCES);
  const wanted = types + constant;
  const found = await readFile(target, 'utf8').catch(() => '');
  if (found === wanted) continue;
  stale += 1;
  if (check) console.error(`stale: ${target.pathname.split('/').at(-1)}`);
  else await writeFile(target, wanted);
}
if (check && stale > 0) process.exitCode = 1;
