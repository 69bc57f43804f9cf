import { formatError } from '@cactusdeal/shared';
import { cac } from 'cac';
import { DEMO_ORGANISATIONS } from './CactusdealDemoOrganisations.js';
import { formatReport } from './CactusdealDemoReport.js';
import { runDemo } from './CactusdealDemoScenario.js';

const EXIT_USAGE = 2;

const cli = cac('demo');
cli.option('--body <name>', `organisation to run: ${Object.keys(DEMO_ORGANISATIONS).join(', ')}`, {
  default: 'hokkaido',
});
cli.option('--json', 'also print the report as one JSON object on the last line');
cli.help();
const { options } = cli.parse();
if (options.help !== true) process.exit(await main());

async function main(): Promise<number> {
  const organisation = DEMO_ORGANISATIONS[String(options.body)];
  const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  if (organisation === undefined) {
    print(`--body: found ${options.body}, allowed: ${Object.keys(DEMO_ORGANISATIONS).join(', ')}`);
    return EXIT_USAGE;
  }
  try {
    const report = await runDemo(organisation, print);
    print(formatReport(report));
    print(report.passed ? '\nall checks passed' : '\nsome checks failed');
    if (options.json === true) print(JSON.stringify(report));
    return report.passed ? 0 : 1;
  } catch (caught) {
    print(`the demo failed: ${formatError(caught)}`);
    return 1;
  }
}
