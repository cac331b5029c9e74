import { type Either, Left, Right } from 'purify-ts';
import type { z } from 'zod';
import { assertNever } from '@parsleyhall/common';
import type { DocumentFault } from './documentFault.js';

const MAX_FOUND_CHARACTERS = 60;

type Issue = z.core.$ZodIssue;

const formatPath = (path: readonly PropertyKey[]): string =>
  path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '') || '(document)';

const getValueAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, part) =>
      typeof value === 'object' && value !== null ? Reflect.get(value, part) : undefined,
    input,
  );

const formatFoundValue = (value: unknown): string => {
  if (value === undefined) {
    return 'nothing';
  }
  const text = JSON.stringify(value);
  return text.length <= MAX_FOUND_CHARACTERS ? text : `${text.slice(0, MAX_FOUND_CHARACTERS)}...`;
};

const formatUnit = (origin: string): string => {
  switch (origin) {
    case 'string':
      return ' characters';
    case 'array':
      return ' entries';
    default:
      return '';
  }
};

const formatBound = (issue: z.core.$ZodIssueTooBig | z.core.$ZodIssueTooSmall): string => {
  const unit = formatUnit(issue.origin);
  const bound = String(issue.code === 'too_big' ? issue.maximum : issue.minimum);
  if (issue.exact === true) {
    return `exactly ${bound}${unit}`;
  }
  if (issue.inclusive === false) {
    return `${issue.code === 'too_big' ? 'less' : 'more'} than ${bound}${unit}`;
  }
  return `at ${issue.code === 'too_big' ? 'most' : 'least'} ${bound}${unit}`;
};

const formatUnion = (issue: z.core.$ZodIssueInvalidUnion): string => {
  const options = 'options' in issue ? issue.options : undefined;
  if (options !== undefined) {
    return `one of ${options.map((option) => JSON.stringify(option)).join(', ')}`;
  }
  return issue.errors
    .map((alternative) => alternative.map(formatAllowed).join(' and '))
    .join(' or ');
};

// Matches the default messages of zod; any other message comes from one of our schemas and says what is allowed.
const ZOD_MESSAGE_PATTERN = /^(Invalid|Too|Unrecognized) /;

const formatAllowed = (issue: Issue): string =>
  ZOD_MESSAGE_PATTERN.test(issue.message) ? formatZodConstraint(issue) : issue.message;

const formatZodConstraint = (issue: Issue): string => {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected;
    case 'too_big':
    case 'too_small':
      return formatBound(issue);
    case 'invalid_format':
      return issue.pattern === undefined ? issue.format : `text that matches ${issue.pattern}`;
    case 'not_multiple_of':
      return `a multiple of ${issue.divisor}`;
    case 'invalid_value':
      return issue.values.length === 1
        ? JSON.stringify(issue.values[0])
        : `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
    case 'invalid_union':
      return formatUnion(issue);
    case 'unrecognized_keys':
      return 'no such field';
    case 'invalid_key':
    case 'invalid_element':
    case 'custom':
      return issue.message;
    default:
      return assertNever(issue);
  }
};

const toDocumentFaults = (issue: Issue, input: unknown): readonly DocumentFault[] => {
  const paths =
    issue.code === 'unrecognized_keys'
      ? issue.keys.map((key) => [...issue.path, key])
      : [issue.path];
  return paths.map((path) => ({
    path: formatPath(path),
    found: formatFoundValue(getValueAt(input, path)),
    allowed: formatAllowed(issue),
  }));
};

/** Validates a parsed JSON document against a schema; the left side lists all faults, not only the first. */
export const checkDocument = <Output>(
  schema: z.ZodType<Output>,
  input: unknown,
): Either<readonly DocumentFault[], Output> => {
  const result = schema.safeParse(input);
  return result.success
    ? Right(result.data)
    : Left(result.error.issues.flatMap((issue) => toDocumentFaults(issue, input)));
};
