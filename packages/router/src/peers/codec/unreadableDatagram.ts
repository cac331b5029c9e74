/** Why a datagram could not be read. */
export type UnreadableDatagram =
  | { readonly type: 'version'; readonly version: number }
  | { readonly type: 'malformed'; readonly detail: string };
