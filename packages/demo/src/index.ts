export { DEMO_BODIES } from './CactusdealDemoBodies.js';
export type { DemoBody, DemoCall, DemoService } from './CactusdealDemoBodyTypes.js';
export { listOperations, startBody } from './CactusdealDemoCluster.js';
