import { Either, Left, Right } from 'purify-ts';
import type { z } from 'zod';
import type { SettingsFault } from './settingsFault.js';

const LONGEST_FOUND_CHARACTERS = 80;

const describeFound = (value: unknown): string => {
  const json = value === undefined ? 'nothing' : JSON.stringify(value);
  return json.length > LONGEST_FOUND_CHARACTERS
    ? `${json.slice(0, LONGEST_FOUND_CHARACTERS)}...`
    : json;
};

const getAt = (document: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null ? Reflect.get(value, key) : undefined,
    document,
  );

const toFaults = (document: unknown, issue: z.core.$ZodIssue): readonly SettingsFault[] => {
  const place = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: [...place, key].join('.'),
      found: describeFound(getAt(document, [...issue.path, key])),
      allowed: 'no setting of this name',
    }));
  }
  const found = describeFound(getAt(document, issue.path));
  return [{ path: place.join('.'), found, allowed: issue.message }];
};

const parseJson = (text: string): Either<readonly SettingsFault[], unknown> =>
  Either.encase((): unknown => JSON.parse(text)).mapLeft((error) => [
    { path: '', found: 'text that is no JSON', allowed: `a JSON document (${error.message})` },
  ]);

/** Checks the text of a settings file; all its faults come in one go. */
export const checkSettings = <Settings>(
  schema: z.ZodType<Settings>,
  text: string,
): Either<readonly SettingsFault[], Settings> =>
  parseJson(text).chain<readonly SettingsFault[], Settings>((document) => {
    const checked = schema.safeParse(document);
    return checked.success
      ? Right(checked.data)
      : Left(checked.error.issues.flatMap((issue) => toFaults(document, issue)));
  });
