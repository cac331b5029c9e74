import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorEnvironment } from '../commandLine/operatorEnvironment.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { collectEvidence } from './collectEvidence.js';
import { explainEvidence } from './explainEvidence.js';
import { formatExplanation } from './formatExplanation.js';
import { parseLogLines } from './parseLogLines.js';

type InputReader = Pick<OperatorEnvironment, 'readFile' | 'readInput'>;

/** Explains a request by its id from log files of one or more processes; reads standard input when no file is named. */
export const explainRequest = (
  environment: InputReader,
  id: string,
  files: readonly string[],
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const sources =
      files.length === 0
        ? [environment.readInput()]
        : files.map((file) => environment.readFile(file));
    const texts = await Promise.all(sources.map((source) => steps.fromPromise(source)));
    const parsed = texts.map(parseLogLines);
    const lines = parsed.flatMap((result) => result.lines);
    const unreadable = parsed.reduce((sum, result) => sum + result.unreadable, 0);
    const evidence = collectEvidence(lines, id);
    if (evidence === undefined) {
      return steps.throwE({ type: 'requestUnknown', id, lines: lines.length, unreadable });
    }
    const explanation = explainEvidence(evidence);
    const { byProcess, around } = evidence;
    const note = unreadable === 0 ? '' : `\n\n${unreadable} lines could not be read.`;
    return {
      text: `${formatExplanation(id, explanation, evidence)}${note}`,
      json: { id, ...explanation, byProcess, around, unreadable },
    };
  });
