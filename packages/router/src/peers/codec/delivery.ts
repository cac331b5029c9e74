/**
 * How a frame reaches its receiver: `direct` alone; `relay` with the request to relay it to the receiver's data centre;
 * `relayed` by such an entry; `extra` directly, in addition to the copy that is relayed.
 */
export type Delivery = 'direct' | 'relay' | 'relayed' | 'extra';
