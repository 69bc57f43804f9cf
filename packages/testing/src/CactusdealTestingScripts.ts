import { fileURLToPath } from 'node:url';

/** Returns the path of a compiled script in the `dist` folder of a package of this repository. */
export function resolveScript(packageName: string, file: string): string {
  return fileURLToPath(new URL(`../../${packageName}/dist/${file}`, import.meta.url));
}
