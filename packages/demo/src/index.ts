export { DEMO_ORGANISATIONS } from './CactusdealDemoOrganisations.js';
export type { DemoCall, DemoOrganisation, DemoService } from './CactusdealDemoOrganisationTypes.js';
export { listOperations, startDemoCluster } from './CactusdealDemoCluster.js';
