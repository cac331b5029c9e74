/**
 * The version of the format, the first byte of a datagram; increased when a reader of the old format would misread the new
 * one.
 */
export const DATAGRAM_VERSION = 2;
