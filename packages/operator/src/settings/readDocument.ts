import { type Either, Left, Right } from 'purify-ts';
import { EitherAsync } from 'purify-ts';
import type { z } from 'zod';
import { checkDocument } from '@parsleyhall/configuration';
import type { OperatorEnvironment } from '../commandLine/operatorEnvironment.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';

const parseJson = (file: string, text: string): Either<OperatorFailure, unknown> => {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (error) {
    return Left({ type: 'notJson', file, detail: (error as SyntaxError).message });
  }
};

/** Reads a JSON file and validates it against a schema. */
export const readDocument = <Output>(
  environment: Pick<OperatorEnvironment, 'readFile'>,
  file: string,
  schema: z.ZodType<Output>,
): EitherAsync<OperatorFailure, Output> =>
  EitherAsync.fromPromise(() => environment.readFile(file))
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
