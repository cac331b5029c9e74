import type { Crossing } from './crossing.js';

/**
 * The data centres whose slots this entry can count on when they become free: its own and the open ones; all if no
 * target at home works.
 */
export const selectReachable = ({
  dataCentres,
  home,
  crossings,
  isHomeWorking,
}: {
  /** Those with targets of the service. */
  readonly dataCentres: Iterable<string>;
  readonly home: string;
  readonly crossings: { readonly get: (dataCentre: string) => Crossing | undefined } | undefined;
  readonly isHomeWorking: boolean;
}): ReadonlySet<string> =>
  new Set(
    [...dataCentres].filter(
      (name) => !isHomeWorking || name === home || crossings?.get(name)?.isOpen === true,
    ),
  );
