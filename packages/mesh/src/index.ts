export type { MemberRejection, Mesh, MeshState, SurveyResult } from './CactusdealMeshTypes.js';
