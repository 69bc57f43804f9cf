/** Thrown for a defect of the program: a state that no input can cause. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/**
 * Asserts a condition that only a defect of the program can break.
 *
 * @throws InvariantError when the condition is false.
 */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}
