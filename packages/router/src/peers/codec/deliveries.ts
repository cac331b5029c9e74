import type { Delivery } from './delivery.js';

/** The deliveries in the order of their codes. */
export const DELIVERIES: readonly Delivery[] = ['direct', 'relay', 'relayed', 'extra'];
