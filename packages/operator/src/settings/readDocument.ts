import { type Either, Left, Right } from 'purify-ts';
import { EitherAsync } from 'purify-ts';
import type { z } from 'zod';
import { checkDocument } from '@parsleyhall/configuration';
import type { OperatorWorld } from '../commandLine/operatorWorld.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';

const parseJson = (file: string, text: string): Either<OperatorFailure, unknown> => {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (error) {
    return Left({ type: 'notJson', file, detail: (error as SyntaxError).message });
  }
};

/** Reads a JSON file and checks it by a schema. */
export const readDocument = <Output>(
  world: Pick<OperatorWorld, 'readFile'>,
  file: string,
  schema: z.ZodType<Output>,
): EitherAsync<OperatorFailure, Output> =>
  EitherAsync.fromPromise(() => world.readFile(file))
    .chain((text) => EitherAsync.liftEither(parseJson(file, text)))
    .chain((input) =>
      EitherAsync.liftEither(
        checkDocument(schema, input).mapLeft<OperatorFailure>((faults) => ({
          type: 'faultyDocument',
          file,
          faults,
        })),
      ),
    );
