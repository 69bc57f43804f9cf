import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import type { Platform } from '@cactusdeal/platform';
import type { Intent, LogEntry, Plan, Route, Service } from '@cactusdeal/schema';
import {
  confirmPlan,
  getLogKey,
  type KnownWorker,
  type PlanContext,
  planIntent,
  storePlan,
} from '../index.js';

/** Builds a valid service. */
export function buildService(changes: Partial<Service> = {}): Service {
  return { tenant: 'oviedo', weights: { west: 1, east: 1 }, queueLimit: 100, ...changes };
}

/** Builds a valid route. */
export function buildRoute(changes: Partial<Route> = {}): Route {
  return {
    service: 'records',
    method: 'GET',
    pathPrefix: '/records',
    rank: 'normal',
    class: 'browse',
    deadlineMs: 2000,
    effect: 'idempotent',
    share: 0.1,
    worth: 1,
    maxBodyBytes: 1024,
    ...changes,
  };
}

/** Builds a ready worker of the records service. */
export function buildWorker(name: string, changes: Partial<KnownWorker> = {}): KnownWorker {
  return { name, dataCentre: 'west', services: ['records'], state: 'ready', slots: 12, ...changes };
}

/** An intent that adds the records service and a route to it. */
export const ADD_RECORDS: Intent = {
  type: 'applyOperations',
  operations: [
    { type: 'setService', name: 'records', service: buildService() },
    { type: 'setRoute', name: 'browse', route: buildRoute() },
  ],
};

/** Builds an intent that sets the queue limit of the records service; each number is a new change. */
export function buildChange(queueLimit: number): Intent {
  const service = buildService({ queueLimit });
  return {
    type: 'applyOperations',
    operations: [{ type: 'setService', name: 'records', service }],
  };
}

/** Builds a plan context from the holder's state; by default no workers are known. */
export function buildContext(
  holder: ConfigurationHolder,
  changes: Partial<PlanContext> = {},
): PlanContext {
  return {
    snapshot: holder.getSnapshot(),
    headVersion: holder.getHeadVersion(),
    getWorkers: () => [],
    ...changes,
  };
}

/** Plans an intent on the holder's state and stores the plan under the given id. */
export async function planStored(
  platform: Platform,
  holder: ConfigurationHolder,
  intent: Intent,
  planId: string,
): Promise<Plan> {
  const planned = planIntent(
    buildContext(holder),
    intent,
    'ana',
    () => 0,
    () => planId,
  );
  const stored = await storePlan(platform, planned.unsafeCoerce());
  return stored.unsafeCoerce();
}

/** Creates a holder with `count` accepted versions, whose entries are in the platform's log. */
export async function createLoggedHolder(
  platform: Platform,
  count: number,
): Promise<ConfigurationHolder> {
  const holder = createConfigurationHolder();
  for (let version = 1; version <= count; version += 1) {
    await acceptChange(platform, holder, version === 1 ? ADD_RECORDS : buildChange(version));
  }
  return holder;
}

/** Plans and confirms an intent, and applies its entry to the holder. */
export async function acceptChange(
  platform: Platform,
  holder: ConfigurationHolder,
  intent: Intent,
): Promise<LogEntry> {
  const planId = `plan-${holder.getHeadVersion() + 1}`;
  await planStored(platform, holder, intent, planId);
  const accepted = await confirmPlan(platform, planId, 'ana', { clock: () => 0 });
  const { entry } = accepted.unsafeCoerce();
  holder.applyEntry(entry);
  return entry;
}

/** Reads the id of the plan whose entry the log holds for a version; undefined without an entry. */
export async function readLoggedPlanId(
  platform: Platform,
  version: number,
): Promise<string | undefined> {
  const found = await platform.get(getLogKey(version));
  const record = found.unsafeCoerce();
  if (record === undefined) return undefined;
  return (JSON.parse(new TextDecoder().decode(record.value)) as LogEntry).planId;
}
