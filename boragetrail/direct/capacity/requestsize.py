"""Tokens of a request, as its header fields say."""

from boragetrail.direct.capacity.numbers import parse_number
from boragetrail.policy.enginememory import RequestSize, expected_output

__all__ = ["request_size"]

MAX_TOKENS = 100_000_000


def request_size(headers, names, prompt):
    """Return the size of a request.

    Without a valid number of tokens, the parts of the prompt count and the
    response counts as empty.

    :param headers: header fields of the request
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param prompt: parts of the prompt as (id, tokens); empty if unknown
    :returns: :class:`~boragetrail.policy.enginememory.RequestSize`
    """
    # A caller may send any number, also in the parts of its prompt.
    parts_tokens = sum(min(tokens, MAX_TOKENS) for _, tokens in prompt)
    fields = headers.get(names.tokens, "").split(",", 2)
    numbers = [parse_number(field, MAX_TOKENS) for field in fields]
    prompt_tokens = numbers[0] or 0
    max_output = numbers[1] if len(numbers) == 2 else None
    hint = parse_number(headers.get(names.length_hint, ""), MAX_TOKENS)
    if max_output is None:
        max_output = hint or 0
    return RequestSize(
        max(prompt_tokens, parts_tokens),
        expected_output(max_output, hint),
        max_output,
    )
