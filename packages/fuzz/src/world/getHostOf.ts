import type { HostName } from '@parsleyhall/common';

/** The host that a process of the world runs on. */
export const getHostOf = (process: string): HostName => `host-of-${process}` as HostName;
