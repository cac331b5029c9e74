import type { Traffic } from './traffic.js';

/** Counts bytes that this entry exchanges with others; headers of the transport are not included. */
export type TrafficCounter = (traffic: Traffic, bytes: number) => void;
