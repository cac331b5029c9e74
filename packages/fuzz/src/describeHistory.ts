import type { RequestId } from '@parsleyhall/common';
import type { History } from './world/history.js';

type Fact = History['facts'][number];

const concerns = (fact: Fact, subjects: readonly string[]): boolean => {
  switch (fact.type) {
    case 'answerBytes':
      return false;
    case 'processKilled':
    case 'processPaused':
    case 'processStarted':
    case 'processStopped':
    case 'stopRequested':
    case 'hostListed':
      return true;
    case 'configurationInForce':
      return subjects.includes(fact.process);
    case 'operatorTold':
      return subjects.includes(fact.publicationId);
    case 'requestArrived':
    case 'callerHungUp':
    case 'answerHead':
    case 'answerEnd':
    case 'answerFailure':
    case 'runStarted':
    case 'runEnded':
      return subjects.length === 0 || subjects.includes(fact.requestId satisfies RequestId);
  }
};

const describeFact = ({ atMs, type, ...fields }: Fact): string => {
  const shown = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) =>
      name === 'configuration' && typeof value === 'object'
        ? `version=${String(Reflect.get(value, 'version'))}`
        : `${name}=${JSON.stringify(value)}`,
    );
  return `  ${atMs} ms: ${type} ${shown.join(' ')}`;
};

/** The facts that concern the subjects, or all requests when there are none, for people. */
export const describeHistory = ({ facts }: History, subjects: readonly string[]): string =>
  facts
    .filter((fact) => concerns(fact, subjects))
    .map(describeFact)
    .join('\n');
