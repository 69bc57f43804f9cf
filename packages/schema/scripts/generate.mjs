// Generates the committed types from the schemas; with --check it only says whether they are current.
import { readdir, readFile, writeFile } from 'node:fs/promises';
import { compile } from 'json-schema-to-typescript';
import { format } from 'prettier';

const SCHEMAS = new URL('../schemas/', import.meta.url);
const SOURCES = new URL('../src/', import.meta.url);
const SETTINGS_PAGE = new URL('../../../docs/operators/SETTINGS.md', import.meta.url);
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
  await settle(new URL(`CactusdealSchema${name}.generated.ts`, SOURCES), types + constant);
  if (topic === 'settings') await settle(SETTINGS_PAGE, await renderSettings(schema));
}
if (check && stale > 0) process.exitCode = 1;

async function settle(target, wanted) {
  const found = await readFile(target, 'utf8').catch(() => '');
  if (found === wanted) return;
  stale += 1;
  if (check) console.error(`stale: ${target.pathname.split('/').at(-1)}`);
  else await writeFile(target, wanted);
}

function renderSettings(schema) {
  const rows = listSettings(schema, '', schema.required ?? []).map(
    ({ path, description, allowed, fallback }) =>
      `| \`${path}\` | ${description} | ${allowed} | ${fallback} |`,
  );
  const head = [
    '# Settings',
    '',
    'One TOML file for each daemon. Every fault in it is listed at once, with its path, what was found and what is',
    'allowed; the daemon then ends with exit code 2 and starts nothing. Generated from the schema.',
    '',
    '| key | meaning | allowed | default |',
    '| --- | --- | --- | --- |',
  ];
  return format([...head, ...rows, ''].join('\n'), { parser: 'markdown', printWidth: 100 });
}

function listSettings(schema, prefix, required) {
  return Object.entries(schema.properties ?? {}).flatMap(([key, inner]) => {
    const path = prefix === '' ? key : `${prefix}.${key}`;
    if (inner.properties !== undefined) return listSettings(inner, path, inner.required ?? []);
    const fallback = required.includes(key) ? 'required' : formatDefault(inner.default);
    return [
      { path, description: inner.description ?? '', allowed: formatAllowed(inner), fallback },
    ];
  });
}

function formatDefault(value) {
  return value === undefined ? 'none' : `\`${JSON.stringify(value)}\``;
}

function formatAllowed(schema) {
  if (schema.$ref !== undefined) return 'an IP number and a port, `IP:PORT`';
  if (schema.enum !== undefined) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'array') return `a list, each ${formatAllowed(schema.items)}`;
  if (schema.type === 'object') return 'a table by data centre';
  if (schema.minimum !== undefined) return `${schema.type}, ${schema.minimum} to ${schema.maximum}`;
  if (schema.pattern !== undefined) return `\`${schema.pattern.replaceAll('|', '\\|')}\``;
  return schema.type;
}
