/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Owning pointers for GObject and GLib types, so that a reference is released on every
// code path.

#pragma once

#include <glib-object.h>
#include <memory>

namespace Core
{

struct ObjectUnref {
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
};

/** Owns one reference to a GObject. */
template<typename Object>
using ObjectPointer = std::unique_ptr<Object, ObjectUnref>;

/** Adds a reference to an object and returns its owner. */
template<typename Object>
[[nodiscard]] ObjectPointer<Object> shareObject(Object *object)
{
    return ObjectPointer<Object>(static_cast<Object *>(g_object_ref(object)));
}

struct ErrorFree {
    void operator()(GError *error) const
    {
        g_error_free(error);
    }
};

/** Owns a GError. */
using ErrorPointer = std::unique_ptr<GError, ErrorFree>;

}
