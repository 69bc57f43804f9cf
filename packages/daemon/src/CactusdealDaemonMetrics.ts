import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import { Gauge, type Registry } from 'prom-client';

/**
 * Registers the gauges of the configuration and the mesh; their values are collected at each
 * scrape.
 */
export function registerMeshMetrics(
  registry: Registry,
  mesh: Mesh,
  holder: ConfigurationHolder,
): void {
  const registers = [registry];
  const version: Gauge = new Gauge({
    name: 'cactusdeal_configuration_version',
    help: 'Version of the configuration in force',
    registers,
    collect: () => version.set(holder.getSnapshot().version),
  });
  const rejections: Gauge = new Gauge({
    name: 'cactusdeal_configuration_rejections',
    help: 'Versions that this daemon keeps out',
    registers,
    collect: () => rejections.set(holder.getRejections().length),
  });
  const members: Gauge<'state'> = new Gauge({
    name: 'cactusdeal_members',
    help: 'Members of the data centre that this daemon knows, by state',
    labelNames: ['state'],
    registers,
    collect: () => {
      members.reset();
      mesh.getMembers().forEach(({ state }) => members.inc({ state }));
    },
  });
  const counters: Gauge<'name'> = new Gauge({
    name: 'cactusdeal_mesh_counters',
    help: 'Bytes and frames of the mesh since the start, by name',
    labelNames: ['name'],
    registers,
    collect: () => {
      Object.entries(mesh.getCounters()).forEach(([name, value]) => counters.set({ name }, value));
    },
  });
}
