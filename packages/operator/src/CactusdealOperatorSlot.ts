import type { Platform } from '@cactusdeal/platform';
import type { SlotHolder } from '@cactusdeal/schema';
import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import { createParser, encodeValue } from './CactusdealOperatorCodec.js';

export interface SlotOptions {
  readonly platform: Platform;
  /** Keys of the slots; at most one is held. */
  readonly keys: readonly string[];
  readonly holder: SlotHolder;
  /** Life of the lease without a renewal, in milliseconds. */
  readonly leaseMs: number;
  /** A clock that never goes back and runs on while the process is stopped. */
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /** Whether to try for a slot now; one that is held is given back when this turns false. */
  readonly isCandidate?: () => boolean;
}

/** A slot that is held by lease while this process renews it. */
export interface SlotLease {
  /** Whether the slot is held, by this process's own clock; economy only, never a safety guard. */
  isHolding(): boolean;
  /** Key of the held slot. */
  getKey(): string | undefined;
  /** Gives the slot back and ends the task. */
  close(): Promise<void>;
}

interface Held {
  readonly key: string;
  readonly leaseId: string;
  readonly untilMs: number;
}

const RENEWALS_PER_LEASE = 3;

/** Parses what a slot's key holds. */
export const parseHolder = createParser<SlotHolder>('configuration#/definitions/SlotHolder');

/**
 * Starts a task that tries for one of the slots, one read a turn, and renews the lease of the one
 * it holds. While it is no candidate it calls nothing.
 */
export function startSlotLease(options: SlotOptions): SlotLease {
  const { clock, leaseMs, log } = options;
  const random = options.random ?? Math.random;
  const closing = new AbortController();
  const signal = AbortSignal.any([options.signal, closing.signal]);
  let held: Held | undefined;
  const isHolding = () => held !== undefined && clock() < held.untilMs;
  const task = runTask();
  return {
    isHolding,
    getKey: () => (isHolding() ? held?.key : undefined),
    close: async () => {
      closing.abort();
      await task;
    },
  };

  async function runTask(): Promise<void> {
    while (!signal.aborted) {
      await takeTurn();
      const jitter = 0.5 + random() / 2;
      await waitMs((leaseMs / RENEWALS_PER_LEASE) * jitter, signal);
    }
    await releaseSlot();
  }

  async function takeTurn(): Promise<void> {
    const isCandidate = options.isCandidate?.() ?? true;
    if (!isCandidate) await releaseSlot();
    else if (held === undefined) await tryTake();
    else await renew(held);
  }

  async function tryTake(): Promise<void> {
    held = await takeSlot(options, random);
    if (held !== undefined) log.info('slot-taken', { key: held.key });
  }

  async function renew(current: Held): Promise<void> {
    const sentAtMs = clock();
    const renewed = await options.platform.renewLease(current.leaseId);
    const isRenewed = renewed.orDefault(clock() < current.untilMs);
    if (isRenewed && renewed.isRight()) held = { ...current, untilMs: sentAtMs + leaseMs };
    if (isRenewed) return;
    held = undefined;
    log.warn('slot-lost', { key: current.key });
  }

  async function releaseSlot(): Promise<void> {
    if (held === undefined) return;
    const { leaseId, key } = held;
    held = undefined;
    await options.platform.revokeLease(leaseId);
    log.info('slot-given-back', { key });
  }
}

/** Takes a random slot when it is free; a slot that this member wrote before is left to lapse. */
async function takeSlot(options: SlotOptions, random: Random): Promise<Held | undefined> {
  const { platform, keys, holder, leaseMs, clock } = options;
  const key = keys[Math.floor(random() * keys.length)];
  if (key === undefined) return undefined;
  const found = await platform.get(key);
  if (found.isLeft() || found.unsafeCoerce() !== undefined) return undefined;
  const sentAtMs = clock();
  const granted = await platform.grantLease(leaseMs);
  if (granted.isLeft()) return undefined;
  const { id } = granted.unsafeCoerce();
  const written = await platform.createIfAbsent(key, encodeValue(holder), id);
  const isWritten = written.map((outcome) => outcome.written).orDefault(false);
  if (isWritten) return { key, leaseId: id, untilMs: sentAtMs + leaseMs };
  await platform.revokeLease(id);
  return undefined;
}

/** Reads who holds the slots; empty, unreadable and unanswered ones are left out. */
export async function readHolders(
  platform: Platform,
  keys: readonly string[],
): Promise<SlotHolder[]> {
  const found = await Promise.all(keys.map((key) => platform.get(key)));
  return found.flatMap((result) => {
    const record = result.orDefault(undefined);
    return record === undefined
      ? []
      : parseHolder(record.value)
          .map((holder) => [holder])
          .orDefault([]);
  });
}
