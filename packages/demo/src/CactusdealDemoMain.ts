import { formatCaught } from '@cactusdeal/shared';
import { cac } from 'cac';
import { DEMO_BODIES } from './CactusdealDemoBodies.js';
import { formatReport } from './CactusdealDemoReport.js';
import { runDemo } from './CactusdealDemoScript.js';

const EXIT_USAGE = 2;

const cli = cac('demo');
cli.option('--body <name>', `one of ${Object.keys(DEMO_BODIES).join(', ')}`, {
  default: 'hokkaido',
});
cli.option('--json', 'print the report as one JSON object on the last line');
cli.help();
const { options } = cli.parse();
if (options.help !== true) process.exit(await main());

async function main(): Promise<number> {
  const body = DEMO_BODIES[String(options.body)];
  const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  if (body === undefined) {
    print(`--body: found ${options.body}, allowed: ${Object.keys(DEMO_BODIES).join(', ')}`);
    return EXIT_USAGE;
  }
  try {
    const report = await runDemo(body, print);
    print(formatReport(report));
    print(report.passed ? '\nevery check held' : '\nsome checks failed');
    if (options.json === true) print(JSON.stringify(report));
    return report.passed ? 0 : 1;
  } catch (caught) {
    print(`the demo stopped: ${formatCaught(caught)}`);
    return 1;
  }
}
