import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorWorld } from '../commandLine/operatorWorld.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { collectEvidence } from './collectEvidence.js';
import { explainEvidence } from './explainEvidence.js';
import { formatStory } from './formatStory.js';
import { parseLines } from './parseLines.js';

type Reader = Pick<OperatorWorld, 'readFile' | 'readInput'>;

/** Explains a request by its id from the log lines of one or more processes; without files from standard input. */
export const explainRequest = (
  world: Reader,
  id: string,
  files: readonly string[],
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const sources =
      files.length === 0 ? [world.readInput()] : files.map((file) => world.readFile(file));
    const texts = await Promise.all(sources.map((source) => steps.fromPromise(source)));
    const parsed = texts.map(parseLines);
    const lines = parsed.flatMap((one) => one.lines);
    const unreadable = parsed.reduce((sum, one) => sum + one.unreadable, 0);
    const evidence = collectEvidence(lines, id);
    if (evidence === undefined) {
      return steps.throwE({ type: 'requestUnknown', id, lines: lines.length, unreadable });
    }
    const explanation = explainEvidence(evidence);
    const { byProcess, around } = evidence;
    const note = unreadable === 0 ? '' : `\n\n${unreadable} lines could not be read.`;
    return {
      text: `${formatStory(id, explanation, evidence)}${note}`,
      json: { id, ...explanation, byProcess, around, unreadable },
    };
  });
