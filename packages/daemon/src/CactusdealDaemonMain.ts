import { formatFault } from '@cactusdeal/schema';
import { formatCaught, LogLevel, startLogging } from '@cactusdeal/shared';
import { cac } from 'cac';
import { loadSettings } from './CactusdealDaemonSettings.js';
import { startDaemon } from './CactusdealDaemonWiring.js';

const EXIT_SETTINGS = 2;
const EXIT_START = 3;

const LEVELS = {
  debug: LogLevel.Debug,
  info: LogLevel.Info,
  warn: LogLevel.Warn,
  error: LogLevel.Error,
} as const;

// Node.js 20 can spin in its own clean-up of handles at the natural end, so the process leaves by itself.
process.exit(await main());

async function main(): Promise<number> {
  const program = cac('cactusdeald');
  program.option('--settings <file>', 'TOML file with the settings');
  program.help();
  const { options } = program.parse();
  if (options.help === true) return 0;
  const settings = await loadSettings(String(options.settings ?? 'cactusdeald.toml'));
  if (settings.isLeft()) {
    const failure = settings.swap().unsafeCoerce();
    process.stderr.write(`${failure.kind}: ${failure.message}\n`);
    failure.faults.forEach((fault) => process.stderr.write(`  ${formatFault(fault)}\n`));
    return EXIT_SETTINGS;
  }
  return runDaemon(settings.unsafeCoerce());
}

async function runDaemon(settings: Parameters<typeof startDaemon>[0]): Promise<number> {
  startLogging((line) => process.stderr.write(`${line}\n`), LEVELS[settings.logLevel]);
  const stop = waitForSignal();
  try {
    const daemon = await startDaemon(settings);
    const { meshAddress, callsAddress, adminAddress } = daemon;
    const addresses = `mesh=${meshAddress} calls=${callsAddress} admin=${adminAddress}`;
    process.stdout.write(`listening ${addresses}\n`);
    void daemon.ready.then((isReady) => {
      if (isReady) process.stdout.write(`ready ${addresses}\n`);
    });
    await stop;
    await daemon.close();
    return 0;
  } catch (caught) {
    process.stderr.write(`start failed: ${formatCaught(caught)}\n`);
    return EXIT_START;
  }
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
