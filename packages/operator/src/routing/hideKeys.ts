import { createHash } from 'node:crypto';
import type { RoutingDocument } from '@parsleyhall/daemon';

const SHOWN_DIGITS = 8;

const hide = (key: string): string =>
  `sha256:${createHash('sha256').update(key).digest('hex').slice(0, SHOWN_DIGITS)}`;

/** Replaces keys, which are secret, by the beginnings of their hashes. */
export const hideKeys = (document: RoutingDocument): RoutingDocument => ({
  ...document,
  teams: document.teams.map((team) => ({ ...team, keys: team.keys.map(hide) })),
});
