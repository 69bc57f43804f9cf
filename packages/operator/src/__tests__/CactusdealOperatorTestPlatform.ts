import {
  buildNotDoneFailure,
  buildUnknownFailure,
  type Platform,
  type PlatformFailure,
} from '@cactusdeal/platform';
import { type Either, Left } from 'purify-ts';

/** Fault that a test injects into one platform call. */
export const CallFault = {
  None: 'none',
  /** The call is refused: it has no effect, and the caller is told so. */
  Refused: 'refused',
  /** The request is lost: the call has no effect, but the caller cannot tell. */
  LostBefore: 'lostBefore',
  /** The answer is lost: the call takes effect, but the caller cannot tell. */
  LostAfter: 'lostAfter',
} as const;
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** A platform call as it is passed to the test's `ChooseFault`. */
export interface ObservedCall {
  readonly operation: keyof Platform;
  /** First argument of the call: a key, or the id or duration of a lease. */
  readonly key: string;
}

/** Chooses the fault of a call. It may wait first, so that a test controls the order of calls. */
export type ChooseFault = (call: ObservedCall) => CallFault | Promise<CallFault>;

/** Wraps a platform so that a test can inject a fault into each call. */
export function wrapPlatform(platform: Platform, chooseFault: ChooseFault): Platform {
  const wrap =
    <Args extends unknown[], T>(
      operation: keyof Platform,
      run: (...args: Args) => Promise<Either<PlatformFailure, T>>,
    ) =>
    async (...args: Args): Promise<Either<PlatformFailure, T>> => {
      const fault = await chooseFault({ operation, key: String(args[0]) });
      if (fault === CallFault.Refused) return Left(buildNotDoneFailure('refused by the test'));
      if (fault === CallFault.LostBefore) return Left(buildUnknownFailure('lost by the test'));
      const result = await run(...args);
      return fault === CallFault.LostAfter ? Left(buildUnknownFailure('lost by the test')) : result;
    };
  return {
    get: wrap('get', platform.get),
    createIfAbsent: wrap('createIfAbsent', platform.createIfAbsent),
    compareAndSwap: wrap('compareAndSwap', platform.compareAndSwap),
    remove: wrap('remove', platform.remove),
    grantLease: wrap('grantLease', platform.grantLease),
    renewLease: wrap('renewLease', platform.renewLease),
    revokeLease: wrap('revokeLease', platform.revokeLease),
    watch: wrap('watch', platform.watch),
    close: platform.close,
  };
}
