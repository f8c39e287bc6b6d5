"""Messages about grants that an entry node sends to the owner of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcrestridge_core.types import GrantEnd, HeldGrant, NodeId, Send, SlotGrant, SlotRelease

if TYPE_CHECKING:
    from goldcrestridge_core.slots import ActiveGrant, ShardView


def to_owner(view: ShardView, message: object) -> list[Send]:
    """Return the message addressed to the known owner, if any."""
    return [Send(view.owner, message)] if view.owner is not None else []


def same_grant(left: SlotGrant, right: SlotGrant) -> bool:
    """Return whether two messages carry the same grant."""
    return (left.shard, left.epoch, left.grant_id) == (right.shard, right.epoch, right.grant_id)


def release_of(grant: SlotGrant, node: NodeId, end: GrantEnd) -> SlotRelease:
    """Return a release of a grant without measurements."""
    return SlotRelease(
        request_id=grant.request_id,
        attempt=grant.attempt,
        entry=node,
        shard=grant.shard,
        epoch=grant.epoch,
        grant_id=grant.grant_id,
        upstream=grant.upstream,
        end=end,
    )


def held_grant(held: ActiveGrant) -> HeldGrant:
    """Return the entry of a grant report for one grant in use."""
    grant, call = held.grant, held.call
    return HeldGrant(
        request_id=grant.request_id,
        attempt=grant.attempt,
        epoch=grant.epoch,
        grant_id=grant.grant_id,
        upstream=grant.upstream,
        workspace=call.workspace,
        site=call.site,
        class_name=call.class_name,
        model=call.model,
        prompt_tokens=call.prompt_tokens,
        output_tokens=held.output_tokens,
    )
