/** IP addresses at which other entries may be running. */
export interface AddressBook {
  readonly addresses: ReadonlySet<string>;
  readonly add: (addresses: readonly string[]) => void;
  /** The addresses that the next digest names; all of them are named in turn. */
  readonly takeNext: () => readonly string[];
}
