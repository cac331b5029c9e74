/** A promise that a run broke. */
export interface Breach {
  readonly promise:
    | 'ranTwice'
    | 'ranThoughRefused'
    | 'foreignAnswer'
    | 'ranForNobody'
    | 'cutByStop'
    | 'notServedAfter';
  readonly detail: string;
}
