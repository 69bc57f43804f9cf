// Loaded before each test file. Node.js 20 can spin for ever in its own clean-up of handles after the last of them has
// closed; once the event loop is empty there is nothing left to clean up, so the process leaves at once. A handle that a
// test leaks still keeps the loop alive.
let hasSettled = false;
process.on('beforeExit', () => {
  if (hasSettled) process.exit();
  hasSettled = true;
  // The test runner finishes its report when the loop is empty for the first time.
  setImmediate(() => {});
});
