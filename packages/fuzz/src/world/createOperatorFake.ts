import {
  CONFIGURATION_STREAM,
  EMPTY_CONFIGURATION_READER,
  foldConfigurationPage,
} from '@parsleyhall/configuration';
import type { ConfigurationRecord } from '@parsleyhall/configuration';
import { followLog } from './followLog.js';
import type { History } from './history.js';
import type { LogFake } from './logFake.js';
import type { OperatorFake } from './operatorFake.js';
import type { Simulation } from './simulation.js';

const LOOK_AGAIN_MS = 150;

/** Creates an operator, who publishes on the version seen and repeats a record until it shows in the log. */
export const createOperatorFake = ({
  simulation,
  log,
  name,
  record,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly name: string;
  readonly record: (fact: History['facts'][number]) => void;
}): OperatorFake => {
  let reader = EMPTY_CONFIGURATION_READER;
  let changes = 0;
  const verdicts = new Map<string, boolean>();
  const publicationsByOffset = new Map<number, string>();

  const isToldOnce = (publicationId: string, isAccepted: boolean): void => {
    if (!verdicts.has(publicationId)) {
      verdicts.set(publicationId, isAccepted);
    }
  };
  followLog({
    simulation,
    log,
    stream: CONFIGURATION_STREAM,
    run: (step) => {
      step();
    },
    onFailure: () => undefined,
    onPage: ({ from, nextOffset, records }) => {
      for (const { offset, value } of records) {
        publicationsByOffset.set(offset, (value as ConfigurationRecord).publicationId);
      }
      const read = foldConfigurationPage(reader, { from, nextOffset, records });
      reader = read.reader;
      for (const { offset, verdict } of read.verdicts) {
        isToldOnce(publicationsByOffset.get(offset) ?? '', verdict.type === 'accepted');
      }
    },
  });

  const settle = (changeRecord: ConfigurationRecord): void => {
    const { publicationId } = changeRecord;
    const isAccepted = verdicts.get(publicationId);
    if (isAccepted !== undefined) {
      record({ type: 'operatorTold', atMs: simulation.getNowMs(), publicationId, isAccepted });
      return;
    }
    log.append(CONFIGURATION_STREAM, [changeRecord], () => {
      simulation.schedule(LOOK_AGAIN_MS, () => {
        settle(changeRecord);
      });
    });
  };
  return {
    change: (change) => {
      changes += 1;
      settle({
        ...change,
        publicationId: `${name}-${changes}`,
        base: reader.state.version,
        operator: name,
      });
    },
  };
};
