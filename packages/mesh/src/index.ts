export { createMesh } from './CactusdealMesh.js';
export { type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
export type { MeshOptions } from './CactusdealMeshOptions.js';
export { selectReaders } from './CactusdealMeshReaders.js';
export type { MemberRejection, Mesh, MeshState, SurveyResult } from './CactusdealMeshTypes.js';
