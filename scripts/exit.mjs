// Preloaded into each test process. Node.js 20 can loop forever in its own clean-up of handles after the last handle has
// closed. Once the event loop is empty nothing is left to clean up, so this exits the process at once. A handle that a
// test leaks still keeps the event loop alive and the process running.
let wasLoopEmpty = false;
process.on('beforeExit', () => {
  if (wasLoopEmpty) process.exit();
  wasLoopEmpty = true;
  // The test runner completes its report when the loop is empty for the first time, so exit only at the second.
  setImmediate(() => {});
});
