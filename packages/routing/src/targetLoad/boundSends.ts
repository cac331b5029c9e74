import { computeFingerprint } from '@parsleyhall/common';
import { countLiveEntries } from '../peers/countLiveEntries.js';
import type { RoutingState } from '../routingState.js';
import type { Candidate } from '../targets/candidate.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import { countNetSends } from './countNetSends.js';
import { getDigestAgeMs } from './getDigestAgeMs.js';
import { getUniformNumber } from './getUniformNumber.js';

/** The others may send this share of what all targets have room for until their room is contested. */
const CONTESTED_SHARE = 0.5;

/** The slots of shorter work than this are free again before a digest could tell that they are taken. */
const isWorkShort = (state: RoutingState, service: string): boolean =>
  getLatencyModel(state, service).meanDurationMs <= getDigestAgeMs(state.peers.size);

/**
 * Bounds what this entry sends to each target before its next digest, if the requests that the others are expected to send
 * could fill what is free. The bound is the entry's share of the free slots; with a share below 1, it is one request with
 * that probability, drawn anew for each digest, so that the entries together send about as many as there is room for.
 */
export const boundSends = (
  state: RoutingState,
  candidates: readonly Candidate[],
  unheardSends: number,
  nowMs: number,
): readonly Candidate[] => {
  const totalFree = candidates.reduce((sum, { freeRequests }) => sum + freeRequests, 0);
  const service = candidates[0]?.target.listed.service;
  const isContested = unheardSends > CONTESTED_SHARE * totalFree;
  if (!isContested || service === undefined || isWorkShort(state, service)) {
    return candidates;
  }
  const { settings, digestSequence } = state;
  const liveEntries = countLiveEntries(state, nowMs);
  const seed = computeFingerprint(`${settings.host} ${digestSequence}`);
  return candidates.map((candidate) => {
    const { target, freeRequests } = candidate;
    const { count } = countNetSends(target, digestSequence);
    const share = (freeRequests + Math.max(0, count)) / liveEntries;
    const drawn = getUniformNumber(seed, target.spreadHash) < share ? 1 : 0;
    return { ...candidate, sendsLeft: Math.max(Math.floor(share), drawn) - count };
  });
};
