// Generates TypeScript types and the page of the settings from the schemas. With --check it writes nothing, and exits
// with code 1 if a committed file differs from what would be generated.
import { readdir, readFile, writeFile } from 'node:fs/promises';
import { compile } from 'json-schema-to-typescript';
import { format } from 'prettier';

const SCHEMAS = new URL('../schemas/', import.meta.url);
const SOURCES = new URL('../src/', import.meta.url);
const SETTINGS_PAGE = new URL('../../../docs/operators/SETTINGS.md', import.meta.url);
const isCheckOnly = process.argv.includes('--check');
let staleCount = 0;

const files = (await readdir(SCHEMAS)).filter((file) => file.endsWith('.json')).sort();
for (const file of files) {
  const topic = file.replace('.json', '');
  const name = topic.charAt(0).toUpperCase() + topic.slice(1);
  const schema = JSON.parse(await readFile(new URL(file, SCHEMAS), 'utf8'));
  const types = await compile(structuredClone(schema), name, {
    additionalProperties: false,
    bannerComment: `/* Generated from schemas/${file} by \`npm run generate\`. Do not edit. */`,
    ignoreMinAndMaxItems: true,
    style: { singleQuote: true, printWidth: 100 },
  });
  const constant = `\n/** The schema, for validation at run time. */\nexport const ${topic}Schema = ${JSON.stringify(schema, null, 2)} as const;\n`;
  await writeOrCheck(new URL(`CactusdealSchema${name}.generated.ts`, SOURCES), types + constant);
  if (topic === 'settings') await writeOrCheck(SETTINGS_PAGE, await renderSettings(schema));
}
if (isCheckOnly && staleCount > 0) process.exitCode = 1;

async function writeOrCheck(target, generated) {
  const current = await readFile(target, 'utf8').catch(() => '');
  if (current === generated) return;
  staleCount += 1;
  if (isCheckOnly) console.error(`stale: ${target.pathname.split('/').at(-1)}`);
  else await writeFile(target, generated);
}

function renderSettings(schema) {
  const rows = listSettings(schema, '', schema.required ?? []).map(
    ({ path, description, allowed, fallback }) =>
      `| \`${path}\` | ${description} | ${allowed} | ${fallback} |`,
  );
  const head = [
    '# Settings',
    '',
    'Each daemon reads one TOML file. If it is not valid, the daemon lists every fault in it, with the path, the value',
    'found and what is allowed, and exits with code 2 without starting anything. Generated from the schema.',
    '',
    '| key | meaning | allowed | default |',
    '| --- | --- | --- | --- |',
  ];
  const foot = [
    '',
    '## On the platform of the users',
    '',
    'The daemon of `platform/` reads the settings of `deploy/settings.template.toml`. Two of them are optional:',
    '',
    '| key | meaning | allowed | default |',
    '| --- | --- | --- | --- |',
    '| `memoryMb` | Memory of the host, in megabytes (2^20 bytes). What the daemon holds of what others send stays within it together with the runtime; a body without room waits for 1 s at most and is then refused with 503. | number above 0 | none: only each part has a limit |',
    "| `uplinkMbps` | Bandwidth of the host's link in each direction, in Mbit/s. Large answers and large bodies of calls share it by earliest target, and calls that would be late are refused as busy ([uplink](../design/uplink.md), [downlink](../design/downlink.md)). | number above 0 | none: neither is limited |",
  ];
  return format([...head, ...rows, ...foot, ''].join('\n'), {
    parser: 'markdown',
    printWidth: 100,
  });
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
  if (schema.$ref !== undefined) return 'an IP address and a port, `IP:PORT`';
  if (schema.enum !== undefined) return schema.enum.map((value) => `\`${value}\``).join(', ');
  if (schema.type === 'array') return `a list, each ${formatAllowed(schema.items)}`;
  if (schema.type === 'object') return 'a table with a key for each data centre';
  if (schema.minimum !== undefined) return `${schema.type}, ${schema.minimum} to ${schema.maximum}`;
  if (schema.pattern !== undefined) return `\`${schema.pattern.replaceAll('|', '\\|')}\``;
  return schema.type;
}
