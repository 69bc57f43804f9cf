import { mock } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { Left, Right } from 'purify-ts';
import type { Message } from '../CactusdealRelayFrames.js';
import type { Peer } from '../CactusdealRelayPeer.js';
import {
  PlatformFaultKind,
  type RolloutStatus,
  type RolloutStore,
} from '../CactusdealRelayPorts.js';
import type { RolloutOrder, RolloutPhase } from '../CactusdealRelayRolloutTypes.js';
import { createRollouts, type Rollouts } from '../CactusdealRelayRollouts.js';
import type { Member } from '../CactusdealRelayTypes.js';
import { buildCall, buildUpstream } from './CactusdealRelayFixtures.js';
import { NAMES } from './CactusdealRelayTestCluster.js';

export const SERVICE = 'records';

/** A daemon's part for rollouts. Links and the store are calls in memory. */
export interface RolloutDaemon {
  readonly member: Member;
  readonly rollouts: Rollouts;
  isAlive: boolean;
  /** Daemons in different parts have no links. */
  part: number;
  reachesStore: boolean;
  /** Handles the end of requests to its upstream. */
  recordResponses(version: string, count: number, status?: number): void;
  getPhase(): RolloutPhase | undefined;
}

/** Daemons with a common store and mocked timers. */
export interface RolloutDaemons {
  readonly daemons: readonly RolloutDaemon[];
  readonly store: { order: RolloutOrder | undefined; status: RolloutStatus | undefined };
  readonly messages: Message[];
  /** Gives the order to the daemons that reach the store. */
  giveOrder(order: RolloutOrder, isComplete?: boolean): void;
  /** Reads the store as a daemon does that starts, or whose revision is gone. */
  read(daemon: RolloutDaemon): void;
  /** Opens all links again, on which each daemon tells what it knows. */
  link(): void;
  /** Advances the time. */
  wait(durationMs: number): Promise<void>;
  close(): void;
}

const STEP_MS = 250;

/** Creates one daemon for each data centre named, with ids in this order. */
export function createDaemons(dataCentres: readonly string[]): RolloutDaemons {
  mock.timers.enable({ apis: ['setInterval'] });
  let nowMs = 0;
  let revision = 1;
  let statusRevision = 0;
  const store: RolloutDaemons['store'] = { order: undefined, status: undefined };
  const messages: Message[] = [];
  const daemons = dataCentres.map((dataCentre, index) =>
    createDaemon({ id: `d${index}`, dataCentre, service: SERVICE, address: `127.0.0.1:${index}` }),
  );
  return {
    daemons,
    store,
    messages,
    giveOrder: (order) => {
      store.order = order;
      revision += 1;
      daemons.filter(({ reachesStore }) => reachesStore).forEach((daemon) => read(daemon, false));
    },
    read: (daemon) => read(daemon, true),
    link: () => {
      daemons.forEach((daemon) => {
        daemon.rollouts.listMessages().forEach((message) => {
          listLinked(daemon).forEach((other) => other.rollouts.receive(message, false));
        });
      });
    },
    wait,
    close: () => {
      daemons.forEach(({ rollouts }) => rollouts.close());
      mock.timers.reset();
    },
  };

  function read({ rollouts }: RolloutDaemon, isComplete: boolean): void {
    if (store.order === undefined) return;
    const point = { era: 0, revision };
    rollouts.receiveReading({ orders: [store.order], point, isComplete });
  }

  async function wait(durationMs: number): Promise<void> {
    for (let waitedMs = 0; waitedMs < durationMs; waitedMs += STEP_MS) {
      nowMs += STEP_MS;
      mock.timers.tick(STEP_MS);
      await new Promise(setImmediate);
    }
  }

  function listLinked(daemon: RolloutDaemon): readonly RolloutDaemon[] {
    if (!daemon.isAlive) return [];
    return daemons.filter(
      (other) => other !== daemon && other.isAlive && other.part === daemon.part,
    );
  }

  function createDaemon(member: Member): RolloutDaemon {
    const daemon: RolloutDaemon = {
      member,
      isAlive: true,
      part: 0,
      reachesStore: true,
      rollouts: createRollouts({
        self: member,
        names: NAMES,
        clock: () => nowMs,
        random: () => 0,
        log: createSilentLog(),
        store: createStore(() => daemon.reachesStore && daemon.isAlive),
        isReader: () => daemon.reachesStore,
        listPeers: () =>
          daemons.filter((other) => other !== daemon).map((other) => createPeer(daemon, other)),
        broadcast: (message) => {
          messages.push(message);
          listLinked(daemon).forEach((other) => other.rollouts.receive(message, false));
        },
        recordExposure: () => {},
      }),
      recordResponses: (version, count, status = 200) => {
        for (let index = 0; index < count; index += 1) recordResponse(daemon, version, status);
      },
      getPhase: () => daemon.rollouts.list().at(-1)?.phase,
    };
    return daemon;
  }

  function createPeer(from: RolloutDaemon, to: RolloutDaemon): Peer {
    const isConnected = (): boolean => listLinked(from).includes(to);
    const sendMessage = (message: Message): void => {
      messages.push(message);
      const isLocal = from.member.dataCentre === to.member.dataCentre;
      if (isConnected()) to.rollouts.receive(message, isLocal);
    };
    return { member: to.member, isConnected, sendMessage } as unknown as Peer;
  }

  function createStore(isReachable: () => boolean): RolloutStore {
    const refused = Left({ kind: PlatformFaultKind.NotDone, message: 'status 503' });
    return {
      readStatus: async () => {
        if (!isReachable()) return refused;
        const point = { era: 0, revision };
        return Right({ ...store, point, revision: statusRevision });
      },
      writeStatus: async (_, status, expected) => {
        if (!isReachable() || expected !== statusRevision) return refused;
        statusRevision += 1;
        store.status = status;
        return Right(undefined);
      },
    };
  }
}

function recordResponse({ rollouts }: RolloutDaemon, version: string, status: number): void {
  const headers = [NAMES.signature, 'yes'];
  rollouts.recordResult({
    call: buildCall(),
    upstream: buildUpstream({ softwareVersion: version }),
    end: { type: 'answered', answer: { status, headers, body: new Uint8Array(0) } },
    serviceMs: 20,
    nestedFailed: false,
    isCancelled: false,
  });
}
