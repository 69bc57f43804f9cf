import { cac } from 'cac';
import { startUpstream } from './CactusdealTestingUpstream.js';

interface Flags {
  readonly listen: string;
  readonly name: string;
  readonly services: string;
  readonly slots: number;
  readonly admin?: string;
  readonly announcedAddress?: string;
  readonly serviceMs: number;
  readonly coldMs: number;
}

const cli = cac('cactusdeal-upstream-standin');
cli.option('--listen <address>', 'IP address and port to listen on', { default: '127.0.0.1:0' });
cli.option('--name <name>', 'name of the worker to announce', { default: 'worker' });
cli.option('--services <names>', 'names of the services it serves, separated by commas', {
  default: 'records',
});
cli.option('--slots <count>', 'concurrent requests to announce as capacity', { default: 12 });
cli.option('--admin <address>', 'admin address of the daemon on this host');
cli.option('--announced-address <address>', 'address to announce in place of the listen address');
cli.option('--service-ms <ms>', 'service time of a request in milliseconds', { default: 5 });
cli.option(
  '--cold-ms <ms>',
  'milliseconds added to the service time of the first requests, one for each slot',
  { default: 0 },
);
cli.help();

const flags = cli.parse().options as Flags & { readonly help?: boolean };
if (flags.help !== true) await main();

async function main(): Promise<void> {
  const upstream = await startUpstream({
    name: flags.name,
    listen: flags.listen,
    services: flags.services.split(','),
    slots: Number(flags.slots),
    admin: flags.admin,
    announcedAddress: flags.announcedAddress,
    serviceMs: Number(flags.serviceMs),
    coldMs: Number(flags.coldMs),
  });
  process.stdout.write(`ready address=${upstream.address} name=${flags.name}\n`);
  process.once('SIGTERM', () => {
    upstream.close().then(() => process.exit(0));
  });
}
