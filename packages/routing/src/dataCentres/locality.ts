import type { CrossingPolicy } from './crossingPolicy.js';
import type { HomeSlots } from './homeSlots.js';

/** What the choice between data centres depends on besides the request and its predictions. */
export interface Locality {
  /** This entry's data centre. */
  readonly dataCentre: string;
  /** Distinguishes the choices of this entry from those of others. */
  readonly host: string;
  readonly policy: CrossingPolicy;
  /** The number of requests that this entry may send now to each other data centre that is open to it. */
  readonly openSlots: ReadonlyMap<string, number>;
  /** Data centres whose slots this entry can count on when they become free. */
  readonly reachableDataCentres: ReadonlySet<string>;
  /** The number of entries that share the slots of the reachable data centres. */
  readonly reachingEntries: number;
  /** Data centres whose free slots suffice for all that is sent there at the same time. */
  readonly ampleDataCentres: ReadonlySet<string>;
  /** Requests that other entries send to this data centre at the same time, per free slot. */
  readonly homeContention: number;
  readonly homeSlots: HomeSlots;
  /** A target at home is expected to serve requests, if not at once. */
  readonly isHomeWorking: boolean;
  /** The targets at home are slow all together. */
  readonly isHomeSlow: boolean;
  /** The slots to which this entry may send requests now, at home and in other data centres. */
  readonly usableSlots: number;
}
