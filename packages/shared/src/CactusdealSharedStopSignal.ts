/**
 * Resolves at the first SIGTERM or SIGINT. A further SIGTERM changes nothing, so that one that is sent twice does
 * not cut off the calls that the stop waits for; a second SIGINT ends the process at once.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
