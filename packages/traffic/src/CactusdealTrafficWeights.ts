import type { Random } from '@cactusdeal/shared';

/** A data centre that could serve a call. */
export interface DataCentreShare {
  readonly dataCentre: string;
  readonly weight: number;
}

/**
 * Orders the data centres for one call. The local one comes first for as large a part of the calls
 * as its weight is of the average weight; the rest goes to those above the average, in proportion to
 * what they are above it, so that with even demand each serves its share and no call crosses without
 * need. Those behind the first are where the call may overflow to: the local one, then by weight.
 * A data centre of weight 0 is left out.
 */
export function chooseDataCentres(
  shares: readonly DataCentreShare[],
  local: string,
  random: Random,
): string[] {
  const open = shares.filter(({ weight }) => weight > 0);
  if (open.length === 0) return [];
  const first = chooseFirst(shares, open, local, random);
  const rest = open
    .filter(({ dataCentre }) => dataCentre !== first)
    .sort((left, right) => compareOverflow(left, right, local));
  return [first, ...rest.map(({ dataCentre }) => dataCentre)];
}

function chooseFirst(
  shares: readonly DataCentreShare[],
  open: readonly DataCentreShare[],
  local: string,
  random: Random,
): string {
  const own = shares.find(({ dataCentre }) => dataCentre === local);
  if (own === undefined) return pickByWeight(open, random);
  const average = shares.reduce((sum, { weight }) => sum + weight, 0) / shares.length;
  if (own.weight >= average || random() * average < own.weight) return local;
  const above = shares
    .map(({ dataCentre, weight }) => ({ dataCentre, weight: weight - average }))
    .filter(({ weight }) => weight > 0);
  return pickByWeight(above, random);
}

function pickByWeight(shares: readonly DataCentreShare[], random: Random): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random() * total;
  for (const { dataCentre, weight } of shares) {
    rest -= weight;
    if (rest < 0) return dataCentre;
  }
  return (shares[shares.length - 1] as DataCentreShare).dataCentre;
}

function compareOverflow(left: DataCentreShare, right: DataCentreShare, local: string): number {
  if ((left.dataCentre === local) !== (right.dataCentre === local)) {
    return left.dataCentre === local ? -1 : 1;
  }
  return right.weight - left.weight;
}
