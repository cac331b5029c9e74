/** A guarantee that a run did not keep, named after the way in which it was broken. */
export interface Violation {
  readonly guarantee:
    | 'ranTwice'
    | 'ranThoughRefused'
    | 'foreignAnswer'
    | 'invalidStatus'
    | 'ranForNobody'
    | 'cutByStop'
    | 'crashedOn'
    | 'beyondLimit'
    | 'notServedAfter';
  readonly detail: string;
}
