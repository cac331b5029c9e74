/**
 * What is wrong with part of a target's responses: they have neither a length nor chunks and some of them are reset before
 * their end; bytes that are no part of a stream stand somewhere in it; an event that looks like the next one stands
 * before that; or their status is none that a response can have.
 */
export type AnswerFault = 'unframed' | 'garbage' | 'lookAlike' | 'invalidStatus';
