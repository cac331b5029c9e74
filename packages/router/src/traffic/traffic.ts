/** What bytes are counted by. */
export interface Traffic {
  readonly kind: 'digest' | 'request' | 'response' | 'store';
  readonly direction: 'sent' | 'received';
  /** The data centre of the other end; undefined if it is not known. */
  readonly dataCentre: string | undefined;
}
