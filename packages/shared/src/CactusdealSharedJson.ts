import { type Either, Left, Right } from 'purify-ts';
import { type Failure, formatError } from './CactusdealSharedFailure.js';

/** Why a text is not accepted as JSON. */
export type JsonFailure = Failure<'JsonMalformed' | 'JsonTooDeep'>;

/**
 * Deepest nesting of arrays and objects that is accepted. Formatting, comparing and patching a value
 * recurse into it, and a deeper one could exceed the stack.
 */
export const MAX_JSON_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** Parses JSON that another party wrote. */
export function parseJson(text: string): Either<JsonFailure, unknown> {
  if (measureDepth(text) > MAX_JSON_DEPTH) {
    const message = `nested deeper than ${MAX_JSON_DEPTH} levels`;
    return Left({ kind: 'JsonTooDeep', message });
  }
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (caught) {
    return Left({ kind: 'JsonMalformed', message: `not valid JSON: ${formatError(caught)}` });
  }
}

/** Measures how deep arrays and objects are nested, without recursion. */
function measureDepth(text: string): number {
  let depth = 0;
  let maxDepth = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = findStringEnd(text, index + 1);
    else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
      depth += 1;
      if (depth > maxDepth) maxDepth = depth;
    } else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) depth -= 1;
  }
  return maxDepth;
}

/** Finds the quotation mark that ends the string which begins at `start`; the text's length if none does. */
function findStringEnd(text: string, start: number): number {
  let end = text.indexOf('"', start);
  while (end !== -1 && isEscaped(text, start, end)) end = text.indexOf('"', end + 1);
  return end === -1 ? text.length : end;
}

/** Whether an odd number of backslashes stands before the character at `index`. */
function isEscaped(text: string, start: number, index: number): boolean {
  let first = index;
  while (first > start && text.charCodeAt(first - 1) === BACKSLASH) first -= 1;
  return (index - first) % 2 === 1;
}
