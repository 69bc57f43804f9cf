import { formatFault } from '@cactusdeal/schema';
import { formatError, LogLevel, startLogging, waitForStopSignal } from '@cactusdeal/shared';
import { cac } from 'cac';
import { loadSettings } from './CactusdealDaemonSettings.js';
import { startDaemon } from './CactusdealDaemonWiring.js';

/** Exit code when the settings cannot be read or are invalid. */
const EXIT_INVALID_SETTINGS = 2;
/** Exit code when the daemon could not be started or closed. */
const EXIT_START_FAILED = 3;

const LOG_LEVELS = {
  debug: LogLevel.Debug,
  info: LogLevel.Info,
  warn: LogLevel.Warn,
  error: LogLevel.Error,
} as const;

// Exits explicitly: when the event loop runs empty, Node.js 20 can spin in its own clean-up of handles.
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
    return EXIT_INVALID_SETTINGS;
  }
  return runDaemon(settings.unsafeCoerce());
}

async function runDaemon(settings: Parameters<typeof startDaemon>[0]): Promise<number> {
  startLogging((line) => process.stderr.write(`${line}\n`), LOG_LEVELS[settings.logLevel]);
  const stopSignal = waitForStopSignal();
  try {
    const daemon = await startDaemon(settings);
    const { meshAddress, callsAddress, adminAddress } = daemon;
    const addresses = `mesh=${meshAddress} calls=${callsAddress} admin=${adminAddress}`;
    process.stdout.write(`listening ${addresses}\n`);
    const serving = daemon.ready.then((isReady) => {
      if (isReady) process.stdout.write(`ready ${addresses}\n`);
    });
    try {
      await Promise.race([stopSignal, serving.then(() => stopSignal)]);
    } finally {
      await daemon.close();
    }
    return 0;
  } catch (caught) {
    process.stderr.write(`start failed: ${formatError(caught)}\n`);
    return EXIT_START_FAILED;
  }
}
