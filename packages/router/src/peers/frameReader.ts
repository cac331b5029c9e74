/** Reads datagrams from other entries. */
export interface FrameReader {
  readonly receive: (bytes: Uint8Array, address: string) => void;
  /** Whether hashes of unknown names arrived since the last call. */
  readonly takeLacksNames: () => boolean;
}
