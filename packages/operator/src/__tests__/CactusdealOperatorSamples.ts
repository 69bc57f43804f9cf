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

/** Builds a service whose fields are all valid. */
export function buildService(changes: Partial<Service> = {}): Service {
  return { tenant: 'oviedo', weights: { west: 1, east: 1 }, queueLimit: 100, ...changes };
}

/** Builds a route whose fields are all valid. */
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

/** Adds the records service and a route to it. */
export const ADD_RECORDS: Intent = {
  type: 'applyOperations',
  operations: [
    { type: 'setService', name: 'records', service: buildService() },
    { type: 'setRoute', name: 'browse', route: buildRoute() },
  ],
};

/** Changes the queue of the records service, so that each number is another change. */
export function buildChange(queueLimit: number): Intent {
  const service = buildService({ queueLimit });
  return {
    type: 'applyOperations',
    operations: [{ type: 'setService', name: 'records', service }],
  };
}

/** Builds what a plan is made from. */
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

/** Plans and stores an intent on what the holder has. */
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

/** A holder whose log lies in the platform, with `count` accepted versions. */
export async function createLogged(
  platform: Platform,
  count: number,
): Promise<ConfigurationHolder> {
  const holder = createConfigurationHolder();
  for (let version = 1; version <= count; version += 1) {
    await acceptChange(platform, holder, version === 1 ? ADD_RECORDS : buildChange(version));
  }
  return holder;
}

/** Plans, confirms and applies an intent. */
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

/** Reads the plan that the log holds under a version. */
export async function readLogged(platform: Platform, version: number): Promise<string | undefined> {
  const found = await platform.get(getLogKey(version));
  const record = found.unsafeCoerce();
  if (record === undefined) return undefined;
  return (JSON.parse(new TextDecoder().decode(record.value)) as LogEntry).planId;
}
