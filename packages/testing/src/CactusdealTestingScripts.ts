import { fileURLToPath } from 'node:url';

/** Path of a compiled script of one of the packages. */
export function resolveScript(packageName: string, file: string): string {
  return fileURLToPath(new URL(`../../${packageName}/dist/${file}`, import.meta.url));
}
