import type { Random } from '@cactusdeal/shared';

/** A data centre that can serve a call, with its weight. */
export interface WeightedDataCentre {
  readonly dataCentre: string;
  readonly weight: number;
}

/**
 * Orders the data centres for one call by preference. The local one comes first for a fraction of the
 * calls: its weight divided by the average weight, at most 1. The other calls prefer a data centre
 * above the average, chosen in proportion to its excess. With equal demand everywhere, each data
 * centre then serves its share, and no more calls than necessary leave their data centre. After the
 * first come those that the call may overflow to: the local one, then by descending weight. Data
 * centres of weight 0 are left out.
 */
export function chooseDataCentres(
  dataCentres: readonly WeightedDataCentre[],
  local: string,
  random: Random,
): string[] {
  const available = dataCentres.filter(({ weight }) => weight > 0);
  if (available.length === 0) return [];
  const first = chooseFirst(dataCentres, available, local, random);
  const rest = available
    .filter(({ dataCentre }) => dataCentre !== first)
    .sort((left, right) => compareOverflow(left, right, local));
  return [first, ...rest.map(({ dataCentre }) => dataCentre)];
}

function chooseFirst(
  dataCentres: readonly WeightedDataCentre[],
  available: readonly WeightedDataCentre[],
  local: string,
  random: Random,
): string {
  const localDataCentre = dataCentres.find(({ dataCentre }) => dataCentre === local);
  if (localDataCentre === undefined) return pickByWeight(available, random);
  const average = dataCentres.reduce((sum, { weight }) => sum + weight, 0) / dataCentres.length;
  if (localDataCentre.weight >= average || random() * average < localDataCentre.weight)
    return local;
  const aboveAverage = dataCentres
    .map(({ dataCentre, weight }) => ({ dataCentre, weight: weight - average }))
    .filter(({ weight }) => weight > 0);
  return pickByWeight(aboveAverage, random);
}

function pickByWeight(dataCentres: readonly WeightedDataCentre[], random: Random): string {
  const total = dataCentres.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { dataCentre, weight } of dataCentres) {
    remaining -= weight;
    if (remaining < 0) return dataCentre;
  }
  return (dataCentres[dataCentres.length - 1] as WeightedDataCentre).dataCentre;
}

function compareOverflow(
  left: WeightedDataCentre,
  right: WeightedDataCentre,
  local: string,
): number {
  if ((left.dataCentre === local) !== (right.dataCentre === local)) {
    return left.dataCentre === local ? -1 : 1;
  }
  return right.weight - left.weight;
}
