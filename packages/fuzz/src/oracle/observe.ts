import type { RequestId } from '@parsleyhall/common';
import type { Schedule } from '../schedule/schedule.js';
import type { History } from '../world/history.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';

type Fact = History['facts'][number];

const getRequestId = (fact: Fact): RequestId | undefined =>
  'requestId' in fact ? fact.requestId : undefined;

const groupByRequest = (facts: readonly Fact[]): ReadonlyMap<RequestId, readonly Fact[]> => {
  const groups = new Map<RequestId, Fact[]>();
  for (const fact of facts) {
    const requestId = getRequestId(fact);
    if (requestId !== undefined) {
      groups.set(requestId, [...(groups.get(requestId) ?? []), fact]);
    }
  }
  return groups;
};

const isAnswer = (fact: Fact): fact is ObservedRequest['answers'][number] =>
  fact.type === 'answerHead' ||
  fact.type === 'answerBytes' ||
  fact.type === 'answerEnd' ||
  fact.type === 'answerFailure';

const observeRequest = (
  arrival: ObservedRequest['arrival'],
  facts: readonly Fact[],
  history: History,
): ObservedRequest => {
  const answers = facts.filter(isAnswer);
  const final = answers.find(({ type }) => type === 'answerEnd' || type === 'answerFailure');
  const killed = history.facts.find(
    (fact) =>
      fact.type === 'processKilled' &&
      fact.process === arrival.entry &&
      fact.atMs >= arrival.atMs &&
      (final === undefined || fact.atMs < final.atMs),
  );
  return {
    arrival,
    runs: facts.filter((fact) => fact.type === 'runStarted'),
    answers,
    finalAtMs: final?.atMs,
    failure: final?.type === 'answerFailure' ? final.failure : undefined,
    isWhole: final?.type === 'answerEnd',
    hungUpAtMs: facts.find(({ type }) => type === 'callerHungUp')?.atMs,
    cutAtMs: killed?.atMs,
  };
};

/** Sorts the facts of a run by request. */
export const observe = (schedule: Schedule, history: History): Observation => {
  const groups = groupByRequest(history.facts);
  const requests = history.facts
    .filter((fact) => fact.type === 'requestArrived')
    .map((arrival) => observeRequest(arrival, groups.get(arrival.requestId) ?? [], history));
  return { schedule, history, requests };
};
