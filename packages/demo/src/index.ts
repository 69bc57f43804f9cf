export { DEMO_ORGANISATIONS } from './CactusdealDemoBodies.js';
export type { DemoCall, DemoOrganisation, DemoService } from './CactusdealDemoBodyTypes.js';
export { listOperations, startDemoCluster } from './CactusdealDemoCluster.js';
