import { Either, Left, Right } from 'purify-ts';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { ModelCall } from './modelCall.js';
import { modelCallSchema } from './modelCallSchema.js';

const parseJson = (body: Uint8Array): Either<InvalidRequest, unknown> =>
  Either.encase((): unknown =>
    JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)),
  ).mapLeft((error) => createInvalidRequest('malformedJson', error.message));

/** Parses the body of a call to a model. */
export const parseModelCall = (
  kind: keyof typeof modelCallSchema,
  body: Uint8Array,
): Either<InvalidRequest, ModelCall> =>
  parseJson(body).chain<InvalidRequest, ModelCall>((document) => {
    const checked = modelCallSchema[kind].safeParse(document);
    if (checked.success) {
      return Right(checked.data);
    }
    const problems = checked.error.issues.map(
      (issue) => `${issue.path.map(String).join('.')}: ${issue.message}`,
    );
    return Left(createInvalidRequest('malformedBody', problems.join('; ')));
  });
