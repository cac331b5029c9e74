import { fromBinary } from '@bufbuild/protobuf';
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { Either, Left, Right } from 'purify-ts';
import type { z } from 'zod';
import type { MalformedMessage } from './malformedMessage.js';

interface Body {
  readonly case: string | undefined;
  readonly value?: object | undefined;
}

const malformed = (
  reason: MalformedMessage['reason'],
  fields: readonly string[] = [],
): MalformedMessage => ({ type: 'malformedMessage', reason, fields });

const checkBody = <Message>(
  body: Body,
  schema: z.ZodType<Message>,
): Either<MalformedMessage, Message> => {
  if (body.case === undefined) {
    return Left(malformed('empty'));
  }
  const checked = schema.safeParse({ ...body.value, type: body.case });
  if (checked.success) {
    return Right(checked.data);
  }
  const paths = checked.error.issues.map((issue) => issue.path.join('.'));
  return Left(malformed('invalid', paths));
};

/** Decodes bytes by a protobuf description, then checks the one body it must hold. */
export const decodeWith = <Description extends DescMessage, Message>(
  description: Description,
  getBody: (decoded: MessageShape<Description>) => Body,
  schema: z.ZodType<Message>,
): ((bytes: Uint8Array) => Either<MalformedMessage, Message>) => {
  return (bytes) =>
    Either.encase(() => fromBinary(description, bytes))
      .mapLeft(() => malformed('undecodable'))
      .chain((decoded) => checkBody(getBody(decoded), schema));
};
